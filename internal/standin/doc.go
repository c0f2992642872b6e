// Package standin has small stand-ins for the systems around the gateway: a
// model engine, a plain service, the key-value service, the host list with the
// client directory, and the weight store. Each listens on a real socket and
// has switches for its faults. Tests, the bench and the demo use it; the
// daemon does not.
package standin
