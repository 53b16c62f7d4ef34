"""Run the command line with ``python -m savoryhill``."""

from savoryhill.cli import main

if __name__ == "__main__":
    main()
