package rig

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/store/etcd"
)

// Owner returns the node that the owner table in the store names for an
// organisation.
func (r *Rig) Owner(ctx context.Context, organisation string) (*Node, error) {
	listing, err := etcd.New(etcd.Options{Endpoints: []string{r.StoreURL}}).Get(ctx, StorePrefix+config.OwnersKey)
	if err != nil {
		return nil, err
	}
	for _, record := range listing.Records {
		table, err := config.ParseOwners(record.Value, record.ModRevision)
		if err != nil {
			return nil, err
		}
		owner, _ := table.Owner(organisation)
		for _, node := range r.Nodes {
			if node.Spec.VM == owner.VM {
				return node, nil
			}
		}
	}
	return nil, errors.Errorf("organisation %s has no owner", organisation)
}
