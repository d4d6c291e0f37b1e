/*!
Stand-ins of the outside systems, for tests and for the loopback demonstration.

Every stand-in is an HTTP server inside the calling process that binds port 0 by default and has
switches for the faults that the real system shows.
*/

pub mod engine;
