package edge

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/readfail"
)

// readFailed handles an error of reading a socket, whose name is used in logs. It returns
// false if the socket is not to be read any more because the process is to end.
func (e *Edge) readFailed(s *readfail.Streak, socket string, err error) bool {
	e.counts.readErrors.Add(1)
	v := s.Failed(e.now())
	if v.First {
		e.log.Warn("socket cannot be read", zap.String("socket", socket), zap.Error(err))
	}
	if v.GiveUp {
		select {
		case e.failed <- errors.Wrapf(err, "read %s", socket):
		default: // the other socket has failed before
		}
		return false
	}
	time.Sleep(v.Pause)
	return true
}
