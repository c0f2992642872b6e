// Package demo runs a fleet of the size of a first deployment on stand-ins, injects
// faults, and checks the guarantees of the gateway. A check compares what callers
// receive with what the stand-ins have recorded.
package demo
