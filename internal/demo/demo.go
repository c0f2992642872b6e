package demo

import (
	"context"
	"io"
)

type Options struct { Out, Log io.Writer; Hold, Verbose bool }

func Run(ctx context.Context, o Options) error { return nil }
