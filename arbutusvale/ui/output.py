"""Output of results as a table or as JSON."""

import json


def print_json(document: object) -> None:
    """Print a document as JSON; keys keep their order."""
    print(json.dumps(document, indent=2))


def print_table(header: list[str], rows: list[list]) -> None:
    """Print rows as left-aligned columns, each as wide as its widest cell."""
    table = [header, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print('  '.join(padded).rstrip())
