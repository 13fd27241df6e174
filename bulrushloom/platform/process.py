"""Conventions of the platform for processes: settings file and readiness probe."""

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "BULRUSHLOOM_CONFIG"
READY_PATH = "/v1/ready"
