"""What the platform fixes for a process: its settings file and its ready probe."""

# Holds the path of the settings file.
SETTINGS_VARIABLE = "BULRUSHLOOM_CONFIG"
READY_PATH = "/v1/ready"
