// Package crowd tests that clients outside the system's control don't end or hang a
// process. Each test starts waxwing-entry as a child process on loopback against the
// platform stand-in, with limits lowered in its settings file and manifest, and lets a
// fixed crowd of connections misbehave in one way. The tests check only what doesn't
// depend on the machine's speed: that the process lives, that its peak of resident memory
// and of open sockets stays under the limits of its settings, and that an ordinary
// submission and its state are answered while the crowd is still connected. All code is
// in the test files.
package crowd
