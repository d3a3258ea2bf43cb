"""Objects shared by all requests of a router."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import numpy

from arbutusvale.coordination import attempts
from arbutusvale.coordination import limits
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import placement
from arbutusvale.coordination import retries
from arbutusvale.state import bundle_chain
from arbutusvale.state import router_metrics


@dataclasses.dataclass(eq=False, kw_only=True)
class RouterContext:
    """The state and services that a router's requests share.

    ``get_head`` returns the bundle in force; ``catch_up`` reads the bundle
    stream up to an offset that a peer VM has.
    """

    get_head: Callable[[], bundle_chain.ActiveBundle | None]
    catch_up: Callable[[int, str], Awaitable[bool]]
    generator: numpy.random.Generator
    attempts: attempts.AttemptRegistry
    outlier_detector: outlier_detection.OutlierDetector
    placement: placement.Placement
    limits: limits.OrganisationLimits
    retry_budget: retries.RetryBudget
    free_retry_budget: retries.RetryBudget
    metrics: router_metrics.RouterMetrics
