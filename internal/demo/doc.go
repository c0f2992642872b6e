// Package demo runs a fleet of the size of a first deployment on embedded
// stand-ins, breaks things, and reports for each promise whether it was kept,
// judged by what the stand-ins and the callers have seen.
package demo
