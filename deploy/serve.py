"""Start the serving process of a node from a source checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from savoryhill.serving.start import main

if __name__ == "__main__":
    sys.exit(main())
