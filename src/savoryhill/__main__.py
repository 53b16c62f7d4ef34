"""Entry point of ``python -m savoryhill``."""

from savoryhill.cli import main

if __name__ == "__main__":
    main()
