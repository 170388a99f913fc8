"""Settings of the product that hold for a whole deployment, beside those of the platform."""

from __future__ import annotations

import math
import os

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.outcome import Refusal
from mulberrygate.settings.load import load_file

FILE_VARIABLE = "MULBERRYGATE_PRODUCT_SETTINGS"

BAD_PRODUCT_SETTINGS = register_code(
    7102, "bad_product_settings", "The product settings of a deployment are not usable."
)

# A copy of each fifth request is more extra work than any cut of the slowest answers is worth.
MAX_HEDGE_SHARE = 0.2


def _between(least: float, most: float):
    def check(_instance, attribute, value: float) -> None:
        if not math.isfinite(value) or not least <= value <= most:
            raise ValueError(
                f"{attribute.name} must be a number from {least:g} to {most:g}, not {value!r}"
            )

    return check


@attrs.frozen
class HedgeSettings:
    """Limits of hedged requests; see `mulberrygate.forward.hedging`.

    Parameters
    ==========
    share : float
        Most second copies for each first send to a pool; 0 switches them off.
    quantile : float
        Quantile of a route's recent response times after which a copy may be sent.
    min_delay_s : float
        Shortest time until a copy, in seconds.
    min_samples : int
        Recent response times of a route at one entry below which they give no quantile.
    initial_delay_s : float or None
        Time until a copy on a route with fewer times, in seconds; ``None`` to send none. A fleet
        of many entries needs it where each of them sees a request of a route now and then.
    """

    share: float = attrs.field(validator=_between(0.0, MAX_HEDGE_SHARE))
    quantile: float = attrs.field(default=0.95, validator=_between(0.5, 0.999))
    min_delay_s: float = attrs.field(default=0.01, validator=_between(0.001, 60.0))
    min_samples: int = attrs.field(default=100, validator=_between(20, 1_000_000))
    initial_delay_s: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(_between(0.001, 60.0))
    )


@attrs.frozen
class ProductSettings:
    """Settings that the operators of a deployment choose.

    Parameters
    ==========
    hedging : HedgeSettings or None
        Limits of hedged requests, ``None`` to send none.
    """

    hedging: HedgeSettings | None = None


def product_settings_path() -> str:
    """Return the path of the product settings from the environment, empty if it is not set."""
    return os.environ.get(FILE_VARIABLE, "")


def load_product_settings(path: str) -> ProductSettings | Refusal:
    """Read and check the product settings; without a path, return the defaults."""
    if not path:
        return ProductSettings()
    loaded = load_file(path, ProductSettings)
    if isinstance(loaded, Refusal):
        return Refusal(BAD_PRODUCT_SETTINGS, loaded.detail)
    return loaded
