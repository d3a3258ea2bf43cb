"""Check a bundle without publishing anything."""

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output


def run(options: dict) -> int:
    """Read the bundle and print what it holds, or each of its faults."""
    path = options['BUNDLE']
    try:
        read = yaml_documents.read(path, bundle.Bundle)
    except errors.DocumentError as error:
        if not options['--json']:
            raise
        output.print_json({'valid': False, 'faults': error.faults})
        return exit_codes.ExitCode.USAGE_ERROR
    if options['--json']:
        output.print_json({'valid': True, 'version': read.version})
    else:
        print(
            f'{path} is valid: version {read.version}, '
            f'{len(read.organisations)} organisations, '
            f'{len(read.services)} services, {len(read.pools)} pools'
        )
    return exit_codes.ExitCode.DONE
