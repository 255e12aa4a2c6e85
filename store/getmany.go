package store

import (
	"context"
	"strings"
)

// maxSingleReads is the maximum number of keys that GetMany reads one by one.
// For more keys it lists the prefix.
const maxSingleReads = 8

// GetMany reads the keys composed of the prefix and each name. The returned
// records have the names as keys; missing keys are omitted.
func GetMany(ctx context.Context, s Store, prefix string, names []string) ([]Record, error) {
	if len(names) > maxSingleReads {
		return getManyFromListing(ctx, s, prefix, names)
	}
	var records []Record
	for _, name := range names {
		listing, err := s.Get(ctx, prefix+name)
		if err != nil {
			return nil, err
		}
		for _, record := range listing.Records {
			record.Key = name
			records = append(records, record)
		}
	}
	return records, nil
}

func getManyFromListing(ctx context.Context, s Store, prefix string, names []string) ([]Record, error) {
	listing, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var records []Record
	for _, record := range listing.Records {
		record.Key = strings.TrimPrefix(record.Key, prefix)
		if wanted[record.Key] {
			records = append(records, record)
		}
	}
	return records, nil
}
