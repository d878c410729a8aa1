package main

import (
	"context"
	"flag"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/operator"
	"rosedale.dev/rosedale/internal/store"
)

// Exit codes, documented in rootHelp.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitNotFound
	exitConflict
	exitUnknown
	exitInvalid
	exitNotInForce
	exitNotWritten
)

// usageError is an error in the command's arguments.
type usageError struct{ error }

func usage(format string, args ...any) error {
	return usageError{errors.Errorf(format, args...)}
}

func exitCode(err error) int {
	var conflict *operator.Conflict
	var field *catalogue.FieldError
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usageErr):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &field):
		return exitInvalid
	case errors.Is(err, store.ErrNotFound):
		return exitNotFound
	case errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	case errors.Is(err, operator.ErrNotWritten):
		return exitNotWritten
	case errors.Is(err, errNotInForce), errors.Is(err, context.DeadlineExceeded):
		return exitNotInForce
	}
	return exitFailure
}

var errNotInForce = errors.New("not in force in time")
