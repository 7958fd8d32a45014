package coordapi

import (
	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
)

// SoftwareGone is the reason of a refused request that has to go on at a software version of which no back
// end serves.
const SoftwareGone = "no back end of the software version that began the stream serves"

// SoftwareVersions are the software versions that may have begun a stream of a pool. Each list is sorted.
type SoftwareVersions struct {
	// Serving are those of its back ends.
	Serving []state.SoftwareVersion `json:"serving,omitempty"`
	// Held are those among Serving that get no requests yet, since some routers may have no notice of them.
	Held []state.SoftwareVersion `json:"held,omitempty"`
	// Former are those of back ends that have left and whose streams may still be resumed.
	Former []state.SoftwareVersion `json:"former,omitempty"`
}

// Several reports whether back ends of several versions may have begun the streams of the pool.
func (v *SoftwareVersions) Several() bool { return len(v.Serving)+len(v.Former) > 1 }

// RecordStreams reports the back ends that began streams to a coordinator, which keeps the records in
// memory. Any coordinator accepts it, whether it leads or not.
type RecordStreams struct {
	Streams []resumption.Record `json:"streams"`
}

// FindStream asks a coordinator for the back end that began a stream.
type FindStream struct {
	Key resumption.Key `json:"key"`
}

// FoundStream is the reply to FindStream. Writer is nil if the coordinator has no record.
type FoundStream struct {
	Writer *resumption.Writer `json:"writer,omitempty"`
}

// SoftwareState is the state of a software version of a pool.
type SoftwareState string

// States of a software version.
const (
	// SoftwareServing: its back ends get requests.
	SoftwareServing SoftwareState = "serving"
	// SoftwareHeld: its back ends get no requests until all routers have notice of the version.
	SoftwareHeld SoftwareState = "held"
	// SoftwareFormer: its back ends have left, and streams that they began may still be resumed.
	SoftwareFormer SoftwareState = "former"
)

// SoftwareInService is a software version in the HTTP API of coordinators.
type SoftwareInService struct {
	Pool     string                `json:"pool"`
	Software state.SoftwareVersion `json:"software"`
	// Backends is the number of back ends, which may drain.
	Backends int           `json:"backends"`
	State    SoftwareState `json:"state"`
}
