// Package standin implements small stand-ins for the systems around the gateway: a
// model engine, a plain service, the key-value service, the host list with the
// client directory, and the weight store. Each listens on a real socket and
// injects faults on request. Tests, the bench and the demo use it; the daemon
// does not.
package standin
