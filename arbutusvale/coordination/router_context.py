"""Hold the parts that all requests of a router share."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import numpy

from arbutusvale.coordination import attempts
from arbutusvale.coordination import limits
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import placement
from arbutusvale.coordination import retries
from arbutusvale.state import bundles
from arbutusvale.state import measures


@dataclasses.dataclass(eq=False, kw_only=True)
class RouterContext:
    """Hold what a router knows and the ways it reaches others.

    ``get_head`` tells the bundle in force, ``catch_up`` comes up to an
    offset that a peer has.
    """

    get_head: Callable[[], bundles.InForce | None]
    catch_up: Callable[[int, str], Awaitable[bool]]
    generator: numpy.random.Generator
    attempts: attempts.Attempts
    outlier_detector: outlier_detection.OutlierDetector
    placement: placement.Placement
    limits: limits.OrganisationLimits
    retry_budget: retries.RetryBudget
    free_retry_budget: retries.RetryBudget
    measures: measures.RouterMeasures
