package order

import "time"

type (
	// Sender sends messages to processes. It never blocks, and a nil error
	// doesn't mean that the message will arrive.
	Sender interface {
		Send(to MemberID, m Msg) error
	}

	// Poster sends messages to the owner of a partition, which may be this
	// process. It never blocks.
	Poster interface {
		Post(partition PartitionID, m Msg) error
	}

	// Guard returns how long this process may still act as the owner of a
	// partition, and zero if it may not. It is read directly before each
	// write that starts work.
	Guard interface {
		Remaining() time.Duration
	}
)
