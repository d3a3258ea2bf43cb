"""Random variants of a benchmark site file, reproducible by seed.

Usage: python -m tests.variants SITE_FILE FOLDER COUNT

A variant changes properties that the router must not depend on: the number
of VMs and slots, VM resources, time bounds, retry budgets, traffic, routes,
organisations and engine limits.
"""

import pathlib
import random
import re
import shutil
import sys

RATE_FACTORS = (0.5, 1.0, 1.5)


def vary(text, seed):
    """Return the text of a site file after two to four random changes."""
    generator = random.Random(seed)
    changes = [
        _vary_vm_count,
        _vary_slots,
        _vary_bounds,
        _vary_traffic,
        _drop_organisations,
        _vary_attempts,
        _vary_store_limit,
        _vary_vm_resources,
        _vary_routes,
        _vary_engines,
    ]
    for change in generator.sample(changes, generator.randint(2, 4)):
        text = change(text, generator)
    return text


def _vary_vm_count(text, generator):
    """Change the number of router VMs in each data centre."""
    return re.sub(
        r'(class = "front".*?count = )\d+',
        lambda match: f'{match[1]}{generator.randint(1, 4)}',
        text,
    )


def _vary_vm_resources(text, generator):
    """Change CPU, memory, link and descriptor limits of the router VMs."""
    changes = {
        'cpu_share': generator.choice((0.25, 0.5, 2.0)),
        'memory_mb': generator.choice((64, 128, 512)),
        'fds': generator.choice((600, 4100)),
        'link_mbps': generator.choice((5.0, 20.0, 1000.0)),
    }
    lines = text.split('\n')
    for number, line in enumerate(lines):
        if 'class = "front"' in line:
            for name, value in changes.items():
                line = re.sub(rf'{name} = [\d.]+', f'{name} = {value}', line)
            lines[number] = line
    return '\n'.join(lines)


def _vary_routes(text, generator):
    """Configure none or several hundred routes that get no requests."""
    count = generator.choice((0, 400, 900))
    return re.sub(r'idle_routes = \d+', f'idle_routes = {count}', text)


def _vary_engines(text, generator):
    """Change the engines' cache size, connection limit and event stride."""
    text = re.sub(
        r'kv_tokens = \d+',
        f'kv_tokens = {generator.choice((120000, 300000, 900000))}',
        text,
    )
    cap = generator.choice((120, 370))
    text = re.sub(r'conn_cap = 3\d\d', f'conn_cap = {cap}', text)
    return re.sub(
        r'stride = \d+', f'stride = {generator.choice((1, 4, 16))}', text
    )


def _vary_slots(text, generator):
    """Change the slots and the queue length of plain services."""
    slots = generator.randint(2, 16)
    return re.sub(
        r'slots = 6, queue = 24',
        f'slots = {slots}, queue = {generator.choice((2, 8, 40))}',
        text,
    )


def _vary_bounds(text, generator):
    """Change time bounds and the retry budget of the operators."""
    for name, values in (
        ('drain_ms', (1500, 2000, 4000)),
        ('config_ms', (1500, 2500, 4000)),
        ('grace_s', (6.0, 8.0, 12.0)),
        ('budget_slack', (20.0, 56.0, 120.0)),
    ):
        text = re.sub(
            rf'^{name} = .*$', f'{name} = {generator.choice(values)}', text,
            flags=re.M,
        )  # fmt: skip
    return text


def _vary_traffic(text, generator):
    """Scale the request rates of the clients."""
    factor = generator.choice(RATE_FACTORS)
    return re.sub(
        r'per_s = ([\d.]+), clients',
        lambda match: f'per_s = {float(match[1]) * factor:.2f}, clients',
        text,
    )


def _drop_organisations(text, generator):
    """Remove the organisations and the faults that depend on them."""
    for fault in ('"revoke"', '"hot_tenant"', 'how = "tenant"'):
        text = re.sub(rf'^  \{{[^\n]*{fault}[^\n]*\n', '', text, flags=re.M)
    text = re.sub(r'^\[tenants\]\ncount = \d+\n', '', text, flags=re.M)
    return text.replace('"tenants", ', '')


def _vary_attempts(text, generator):
    """Change the maximum number of attempts of a request."""
    return re.sub(
        r'attempts = [12]',
        lambda match: f'attempts = {generator.randint(1, 3)}',
        text,
    )


def _vary_store_limit(text, generator):
    """Change the read rate that the platform's store allows."""
    return re.sub(
        r'^reads_per_s = .*$',
        f'reads_per_s = {generator.choice((200.0, 1000.0))}',
        text,
        flags=re.M,
    )


def main(site_file, folder, count):
    """Write ``count`` variants, beside copies of the files that they use."""
    site = pathlib.Path(site_file)
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for other in site.parent.iterdir():
        if other.suffix != '.toml':
            shutil.copy(other, target / other.name)
    for seed in range(int(count)):
        text = vary(site.read_text(), seed)
        name = f'{site.stem}-v{seed}'
        text = re.sub(r'^name = ".*?"', f'name = "{name}"', text, count=1)
        text = text.replace(f'name = "{site.stem}"', f'name = "{name}"')
        (target / f'{name}.toml').write_text(text)


if __name__ == '__main__':
    main(*sys.argv[1:])
