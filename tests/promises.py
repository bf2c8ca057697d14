"""Print the tests that docs/PROMISES.md names, for `make prove`."""

from tests.test_promises import NAMED

if __name__ == '__main__':
    print(' '.join(f'{path}::{name}' for path, name in NAMED))
