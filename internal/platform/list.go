package platform

import (
	stdjson "encoding/json"
	"errors"
	"io"
	"math"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"tinsail/internal/balance"
	"tinsail/internal/core"
)

// List is a list of backends as the director sends it.
type List struct {
	Index   uint64
	Full    bool
	Entries []core.Entry
}

var errMalformedList = errors.New("malformed list of backends")

// ReadList parses a list. One invalid entry makes the whole list invalid: using the rest of it
// would drop backends that exist.
func (n *Names) ReadList(text []byte) (List, error) {
	if !stdjson.Valid(text) { // jsoniter accepts some invalid JSON, such as a second { in place of a comma
		return List{}, errMalformedList
	}
	it := json.BorrowIterator(text)
	defer json.ReturnIterator(it)
	return n.readList(it)
}

func (n *Names) readList(it *jsoniter.Iterator) (list List, err error) {
	index, endpoints := false, false
	for field := it.ReadObject(); field != ""; field = it.ReadObject() {
		switch field {
		case "index":
			list.Index, index = it.ReadUint64(), true
		case "snapshot":
			list.Full = it.ReadBool()
		case "endpoints":
			endpoints = true
			for it.ReadArray() {
				e, ok := n.readEntry(it)
				if !ok {
					return List{}, errMalformedList
				}
				list.Entries = append(list.Entries, e)
			}
		default:
			it.Skip()
		}
	}
	if !atEnd(it) || !index || !endpoints {
		return List{}, errMalformedList
	}
	return list, nil
}

// atEnd reports whether the text was read without an error and nothing follows what was read.
// WhatIsNext alone is not enough: it returns InvalidValue both at the end and for a byte that
// begins no value.
func atEnd(it *jsoniter.Iterator) bool {
	return it.Error == nil && it.WhatIsNext() == jsoniter.InvalidValue && it.Error == io.EOF
}

// readEntry parses one entry of a list. A group that is not told, and a zone that is not told or whose name is
// not known, are balance.Unknown. An unknown kind becomes the first one. An unknown status counts as
// Terminating, so that no new request goes to a backend in an unknown state.
func (n *Names) readEntry(it *jsoniter.Iterator) (e core.Entry, ok bool) {
	e.Zone, e.Cell = balance.Unknown, balance.Unknown
	status := ""
	for field := it.ReadObject(); field != ""; field = it.ReadObject() {
		switch field {
		case "name":
			e.Name = it.ReadString()
		case "address":
			e.Address = it.ReadString()
		case "zone":
			e.Zone = slices.Index(n.Zones, it.ReadString())
		case "type":
			e.Kind = max(slices.Index(n.Kinds, it.ReadString()), 0)
		case "group":
			e.Cell = it.ReadInt()
		case "status":
			status = it.ReadString()
		case "weight":
			e.Weight = it.ReadFloat64()
		case "since_ms":
			e.Started = it.ReadFloat64()
		default:
			it.Skip()
		}
	}
	switch status {
	case "Ready":
		e.State = balance.Ready
	case "Gone":
		e.State = balance.Gone
	default:
		e.State = balance.Draining
	}
	e.ID = balance.WorkerID(Hash(e.Name))
	ok = it.Error == nil && e.Name != "" && status != "" && (e.Address != "" || e.State == balance.Gone) &&
		!math.IsInf(e.Weight, 0) && !math.IsInf(e.Started, 0)
	return e, ok
}
