package core

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"olivebarrow"
)

// TestEndingResult holds the protocol's table of outcomes. never is what "has it run?" says.
func TestEndingResult(t *testing.T) {
	for _, c := range []struct {
		e     Ending
		want  olivebarrow.Result
		never bool
	}{
		{Served, olivebarrow.OK, false},
		{Failed, olivebarrow.Error, false},
		{Rejected, olivebarrow.Cancelled, false},
		{Returned, olivebarrow.Full, true},
		{Unreached, olivebarrow.ConnectFailed, true},
		{Lost, olivebarrow.Reset, false},
		{Broken, olivebarrow.Reset, false},
		{Garbled, olivebarrow.Reset, false},
		{Overdue, olivebarrow.TimedOut, false},
		{Withdrawn, olivebarrow.Cancelled, false},
		{Unsent, olivebarrow.NotSent, true},
	} {
		got, ok := c.e.Result()
		assert.True(t, ok, c.e)
		assert.Equal(t, c.want, got, c.e)
		never := got == olivebarrow.Full || got == olivebarrow.ConnectFailed || got == olivebarrow.NotSent
		assert.Equal(t, c.never, never, c.e)
	}
	for e := ClientClosed; e < endings; e++ {
		_, ok := e.Result()
		assert.False(t, ok, e)
		assert.NotEmpty(t, e.String())
	}
}
