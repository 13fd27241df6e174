#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs that use the standard
# library only, so this checks that they compile with the Python that runs them.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'END'
import pathlib
import sys

for path in sorted(pathlib.Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
sys.exit(sys.version_info < (3, 11))
END
