"""Start the serving process of a node from a source checkout."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

if __name__ == "__main__":
    # Until the node handles it, a change of the settings file must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from savoryhill.serving.start import main

    sys.exit(main())
