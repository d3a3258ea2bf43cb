"""``bundle check``: validate a bundle without publishing it."""

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output


def run(options: dict) -> int:
    """Validate the bundle and print a summary or each of its faults."""
    path = options['BUNDLE']
    try:
        parsed_bundle = yaml_documents.read(path, bundle.Bundle)
    except errors.DocumentError as error:
        if not options['--json']:
            raise
        output.print_json({'valid': False, 'faults': error.faults})
        return exit_codes.ExitCode.USAGE_ERROR
    if options['--json']:
        output.print_json({'valid': True, 'version': parsed_bundle.version})
    else:
        print(
            f'{path} is valid: version {parsed_bundle.version}, '
            f'{len(parsed_bundle.organisations)} organisations, '
            f'{len(parsed_bundle.services)} services, '
            f'{len(parsed_bundle.pools)} pools'
        )
    return exit_codes.ExitCode.DONE
