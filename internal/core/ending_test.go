package core

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"tinsail/internal/balance"
)

// The results must match the protocol's table of outcomes. never stands for results that prove the request never ran.
func TestEndingResult(t *testing.T) {
	for _, c := range []struct {
		e     Ending
		want  balance.Result
		never bool
	}{
		{Served, balance.OK, false},
		{Failed, balance.Error, false},
		{Rejected, balance.Cancelled, false},
		{Returned, balance.Full, true},
		{Unreached, balance.ConnectFailed, true},
		{Lost, balance.Reset, false},
		{Broken, balance.Reset, false},
		{Garbled, balance.Reset, false},
		{Overdue, balance.TimedOut, false},
		{Withdrawn, balance.Cancelled, false},
		{Unsent, balance.NotSent, true},
	} {
		got, ok := c.e.Result()
		assert.True(t, ok, c.e)
		assert.Equal(t, c.want, got, c.e)
		never := got == balance.Full || got == balance.ConnectFailed || got == balance.NotSent
		assert.Equal(t, c.never, never, c.e)
	}
	for e := ClientClosed; e < endingCount; e++ {
		_, ok := e.Result()
		assert.False(t, ok, e)
		assert.NotEmpty(t, e.String())
	}
}
