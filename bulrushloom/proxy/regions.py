"""Distance of an instance to other domains, by the regions in the settings; no I/O."""

from enum import Enum

from bulrushloom.proxy.settings import ProxySettings


class Distance(Enum):
    """How far away a domain is."""

    OWN_DOMAIN = "own_domain"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


class Regions:
    """Regions of the domains, as seen from one instance.

    A domain whose region is not known counts as one of the own region, so that a fleet
    without regions behaves as one with a single region.
    """

    def __init__(self, settings: ProxySettings):
        self._domain = settings.domain
        self._region_by_domain = settings.region_by_domain
        self._region = settings.region or self._region_by_domain.get(self._domain, "")

    def distance_to(self, domain: str) -> Distance:
        """Return the distance to ``domain``."""
        if domain == self._domain:
            return Distance.OWN_DOMAIN
        region = self._region_by_domain.get(domain, "")
        if region and self._region and region != self._region:
            return Distance.OTHER_REGION
        return Distance.OWN_REGION
