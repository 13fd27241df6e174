"""Names that the platform gives: settings variable and path of the readiness probe."""

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "BULRUSHLOOM_CONFIG"
READY_PATH = "/v1/ready"
