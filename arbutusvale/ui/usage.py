"""Usage texts, from which docopt parses the command lines."""

_CODES = """\
Exit codes:
  0  done
  1  failed, or a promise was broken
  2  wrong use, or an invalid settings file or bundle
  3  the rollout lost the race to another one
  4  the outcome is not known
  5  accepted, but some VMs did not report it in time
"""

OPERATOR = f"""Check, sign and roll out bundles, and look at the fleet.

Usage:
  arbutusvale bundle check BUNDLE [--json] [--verbose]
  arbutusvale bundle sign BUNDLE --settings=FILE --out=FILE [--parent=DIGEST]
                          [--verbose]
  arbutusvale bundle diff BUNDLE [OTHER] [--settings=FILE] [--json]
                          [--verbose]
  arbutusvale bundle reference [--verbose]
  arbutusvale rollout BUNDLE --settings=FILE [--parent=DIGEST] [--timeout=S]
                          [--json] [--verbose]
  arbutusvale status --settings=FILE [--json] [--verbose]
  arbutusvale status --routers=ADDRESSES [--json] [--verbose]
  arbutusvale config check FILE [--against=FILE] [--json] [--verbose]
  arbutusvale history --settings=FILE [--json] [--verbose]
  arbutusvale keygen --out=FILE [--verbose]
  arbutusvale --help
  arbutusvale --version

Options:
  --settings=FILE  The operator's settings.
  --out=FILE       The file to write; it must not exist.
  --parent=DIGEST  Digest of the bundle that this one follows; without it
                   the head of the log service, or none in a first bundle.
  --timeout=S      Seconds to wait for all VMs [default: 30].
  --against=FILE   The configuration in force, to compare with.
  --routers=ADDRESSES  Metrics pages of edge routers, as HOST:PORT with commas
                   between; exit code 5 if they differ or one is unreachable.
  --json           Print JSON in place of a table.
  --verbose        Print log lines to standard error.
  -h --help        Print this text.
  --version        Print the version.

BUNDLE is a YAML document; rollout also takes a file that sign wrote.  FILE is
the JSON of an edge router's configuration; the exit code of its check is 1 if
there are findings, 2 if it can't be read.

{_CODES}"""

ROUTER = f"""Route callers' requests to the backend servers.

Usage:
  arbutusvale-router SETTINGS
  arbutusvale-router --help
  arbutusvale-router --version

Options:
  -h --help  Print this text.
  --version  Print the version.

SIGTERM ends it gracefully; a second one ends it at once.

{_CODES}"""

SIDECAR = f"""Guard the one backend server beside this process.

Usage:
  arbutusvale-sidecar SETTINGS
  arbutusvale-sidecar --help
  arbutusvale-sidecar --version

Options:
  -h --help  Print this text.
  --version  Print the version.

SIGTERM drains it; a second one ends it at once.

{_CODES}"""

STANDIN = f"""Run a stand-in for a system of the users, for trials and tests.

Usage:
  arbutusvale-standin platform --listen=ADDRESS
  arbutusvale-standin engine --listen=ADDRESS --name=NAME [--slots=N]
                             [--no-fencing]
  arbutusvale-standin service --listen=ADDRESS --name=NAME
  arbutusvale-standin faults --listen=ADDRESS --target=ADDRESS \
--control=ADDRESS
  arbutusvale-standin fleet [--seed=N] [--json]
  arbutusvale-standin --help
  arbutusvale-standin --version

Options:
  --listen=ADDRESS   host:port to listen at; port 0 takes a free one.
  --target=ADDRESS   host:port to which the proxy connects.
  --control=ADDRESS  host:port at which faults are set over HTTP.
  --name=NAME        Name of the backend server.
  --slots=N          Requests that an engine runs at once [default: 8].
  --no-fencing       The engine ignores fencing numbers of orders.
  --seed=N           Seed of the trial [default: 1].
  --json             Print JSON in place of a table.
  -h --help          Print this text.
  --version          Print the version.

Each prints `listening ADDRESS` once it serves, and ends on SIGTERM.

{_CODES}"""

LOAD = f"""Play chats and bookings against a fleet and measure it.

Usage:
  arbutusvale-load bench FILE [--json]
  arbutusvale-load measure [--seed=N] [--out=DIR] [--json]
  arbutusvale-load play ROUTERS --key=KEY [--seed=N] [--seconds=S] [--json]
  arbutusvale-load slopes [--seed=N] [--json]
  arbutusvale-load claims PLATFORM [--seconds=S] [--json]
  arbutusvale-load journal FOLDER [--site=NAME] [--command=NAME] [--plot=FILE]
                           [--json]
  arbutusvale-load --help
  arbutusvale-load --version

Options:
  --seed=N     Seed of the load [default: 1].
  --seconds=S  Length of the play [default: 10].
  --out=DIR    Directory for the results [default: docs/measurements].
  --key=KEY    API key to call with.
  --site=NAME  Only rounds on this site of the users' bench.
  --command=NAME  Only rounds of this command of the bench.
  --plot=FILE  Draw the rounds as a PNG.
  --json       Print JSON in place of a table.
  -h --help    Print this text.
  --version    Print the version.

FILE says in YAML which running processes to measure; `make bench` starts
them and writes it.  ROUTERS are URLs of routers, with commas between.
PLATFORM is the address
of a log service, whose stream of claims the program fills.  FOLDER is the
journal that the users' bench keeps in the repository.

{_CODES}"""
