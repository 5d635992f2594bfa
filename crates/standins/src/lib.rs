//! Small stand-ins for outside systems, and the harness that runs processes in tests.
