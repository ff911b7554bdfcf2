# The two commands of the README.

.PHONY: demo test

# Runs the whole path on the stand-ins and prints what happened.
demo:
	scripts/install-packages
	scripts/build release
	scripts/demo
	scripts/demo-platform

# Passes the tests.
test:
	scripts/install-packages
	scripts/build release
	ctest --test-dir build/release --output-on-failure -j4
