package store

import "pumiceford/wire"

// ToWire encodes records for the wire and for stored copies.
func ToWire(recs []Record) []*wire.StoreRecord {
	out := make([]*wire.StoreRecord, 0, len(recs))
	for _, r := range recs {
		out = append(out, &wire.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return out
}

// FromWire decodes records encoded by ToWire.
func FromWire(recs []*wire.StoreRecord) []Record {
	out := make([]Record, 0, len(recs))
	for _, r := range recs {
		out = append(out, Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	return out
}
