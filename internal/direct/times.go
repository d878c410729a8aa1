package direct

import "time"

// Times receives times measured from packets and checks.
type Times interface {
	// Opened receives the time from an opening to the caller's next packet.
	Opened(time.Duration)
	// Answered receives the time from the latest data of a request to the first
	// acknowledgement of its answer.
	Answered(time.Duration)
	// Detected receives the time from a dead target's last sign of life to its detection.
	Detected(time.Duration)
}

// noTimes discards all times.
type noTimes struct{}

func (noTimes) Opened(time.Duration)   {}
func (noTimes) Answered(time.Duration) {}
func (noTimes) Detected(time.Duration) {}
