"""Numbers that other parties write, which may be of any size.

JSON and headers hold whole numbers of any length.  Python reads them, and
raises OverflowError only where one meets a float, or ValueError where one of
thousands of digits is converted.
"""

# From here on a double doesn't hold each whole number.
COUNT_LIMIT = 2**53
# Ids of events may be times in ns.
EVENT_ID_LIMIT = 2**63


def is_finite(value: object) -> bool:
    """Return whether a value is a finite float or a whole number in range."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return -COUNT_LIMIT < value < COUNT_LIMIT or (
        isinstance(value, float) and float('-inf') < value < float('inf')
    )


def is_whole(value: object) -> bool:
    """Return whether a value is a whole number in range."""
    return isinstance(value, int) and is_finite(value)


def check_whole(value: object) -> int:
    """Return a whole number in range, or raise TypeError."""
    if not is_whole(value):
        raise TypeError('not a whole number')
    return value


def parse_count(text: bytes, limit: int = COUNT_LIMIT) -> int | None:
    """Return a whole number from 0 up to below a limit, else None.

    Spaces around it are allowed.
    """
    digits = text.strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b'0')
    if len(significant) > len(str(limit)):
        return None
    count = int(significant or b'0')
    return count if count < limit else None
