package grwire

// GatherRequest requests the partial results of a group of shards from the owner of the
// group, or those of the group that are still missing, or cancels the group. It is
// encoded as CBOR, like PeerMessage.
type GatherRequest struct {
	From         string `cbor:"1,keyasint,omitempty"` // requesting instance and run
	SentUptimeMS int64  `cbor:"2,keyasint,omitempty"` // uptime of the sender's machine on sending
	Query        uint64 `cbor:"3,keyasint,omitempty"`
	Group        int32  `cbor:"4,keyasint,omitempty"`

	ID string `cbor:"5,keyasint,omitempty"` // id of the caller's request, for logs

	// RequestRest requests the partial results that the first answer lacked; RestWanted is
	// the number of them that is needed.
	RequestRest bool `cbor:"6,keyasint,omitempty"`
	RestWanted  int  `cbor:"7,keyasint,omitempty"`

	Release bool `cbor:"8,keyasint,omitempty"` // cancel: the group has been abandoned

	Route    RouteWire `cbor:"9,keyasint,omitempty"` // without targets
	Services []string  `cbor:"10,keyasint,omitempty"`
	// ReservedSearchers holds, for each service, the tag of the searcher reserved for the
	// requester.
	ReservedSearchers []uint16    `cbor:"11,keyasint,omitempty"`
	PartialDeadlineMS int64       `cbor:"12,keyasint,omitempty"` // until the partial-result deadline
	RemainingMS       int64       `cbor:"13,keyasint,omitempty"`
	Method            string      `cbor:"14,keyasint,omitempty"`
	Target            string      `cbor:"15,keyasint,omitempty"` // path and query string
	Host              string      `cbor:"16,keyasint,omitempty"`
	Header            []FieldWire `cbor:"17,keyasint,omitempty"`
	Body              []byte      `cbor:"18,keyasint,omitempty"`
	// CallerRemainingMS is the remaining time of the caller's timeout when it sent the
	// request.
	CallerRemainingMS int64 `cbor:"19,keyasint,omitempty"`
	// Organisation is the name of the organisation that sent the request; "": none is known.
	// Its priority, if it has one, is that of Route.
	Organisation string `cbor:"20,keyasint,omitempty"`
	// OnlyReserved restricts the sub-requests to the searchers in ReservedSearchers.
	OnlyReserved bool `cbor:"21,keyasint,omitempty"`
}

// AnswerWire is a searcher's answer to a request to one service, which is forwarded
// unchanged.
type AnswerWire struct {
	Status    int         `cbor:"1,keyasint,omitempty"`
	Fields    []FieldWire `cbor:"2,keyasint,omitempty"`
	Signature string      `cbor:"3,keyasint,omitempty"`
	Body      []byte      `cbor:"4,keyasint,omitempty"`
}

// FieldWire is a header field.
type FieldWire struct {
	Name  string `cbor:"1,keyasint,omitempty"`
	Value string `cbor:"2,keyasint,omitempty"`
}

// GatherAnswer holds the partial results of a group, with their records merged.
type GatherAnswer struct {
	Services   []string `cbor:"1,keyasint,omitempty"`
	Signatures []string `cbor:"2,keyasint,omitempty"`
	// Body holds the top records of all these partial results.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// More reports that the missing partial results can be requested with RequestRest.
	More    bool `cbor:"4,keyasint,omitempty"`
	Refused bool `cbor:"5,keyasint,omitempty"` // no sub-request was sent
	// Lost reports that sub-requests may have been sent, but no results will follow.
	Lost bool `cbor:"6,keyasint,omitempty"`
	// TypicalRemainingMS is the typical remaining time of the route's callers.
	TypicalRemainingMS int64 `cbor:"7,keyasint,omitempty"`
	// Single is the answer to a request to one service: that of the service in Services, or
	// without any the failure that a searcher answered with.
	Single *AnswerWire `cbor:"8,keyasint,omitempty"`
	// WorkOffMS is the time until the searchers begin what waits at this instance for the
	// group's shards; 0 without evidence of a queue.
	WorkOffMS int64 `cbor:"9,keyasint,omitempty"`
}
