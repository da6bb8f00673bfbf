package order

import "time"

type (
	// Sender sends messages to processes. It never blocks.
	Sender interface {
		Send(to MemberID, m Msg) error
	}

	// Poster sends messages to the owner of a partition, wherever it is. It
	// never blocks.
	Poster interface {
		Post(partition PartitionID, m Msg) error
	}

	// Guard tells how long the owner of a partition may still act. It is read
	// directly before each write that starts work.
	Guard interface {
		Remaining() time.Duration
	}
)
