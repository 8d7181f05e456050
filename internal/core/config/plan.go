package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// plan is the result of applying a change to a set of resources.
type plan struct {
	// resources are the resources of the planned chunks after the change.
	resources []api.Resource
	put       []api.Resource
	deleted   []api.Key
	changes   []core.ConfigChange
	code      code.Code
	problems  []api.Problem
}

// planner applies a change to the current resources.
type planner struct {
	revision int64
	current  map[string]api.Resource
	next     map[string]api.Resource
	plan     plan
}

// makePlan returns the effect of a change on the current resources, which
// include at least those that the change names; revision is the number of the
// revision that the change would create. A resource with a resourceVersion is
// changed only if that is the current one; without one the last writer wins.
func makePlan(current []api.Resource, change request, revision int64, check func(plan) error) plan {
	pl := &planner{revision: revision, current: map[string]api.Resource{}, next: map[string]api.Resource{}}
	for _, r := range current {
		pl.current[r.Key().String()] = r
		pl.next[r.Key().String()] = r
	}
	pl.apply(change)
	for _, deletion := range change.Delete {
		pl.delete(deletion)
	}
	if len(pl.plan.problems) > 0 {
		return pl.plan
	}
	for _, name := range core.SortedKeys(pl.next) {
		pl.plan.resources = append(pl.plan.resources, pl.next[name])
	}
	pl.check(check)
	return pl.plan
}

func (pl *planner) refuse(why code.Code, key api.Key, path, got, wanted string) {
	if pl.plan.code == code.OK {
		pl.plan.code = why
	}
	problem := api.Problem{Path: path, Got: got, Wanted: wanted}
	if key != (api.Key{}) {
		problem.Resource = key.String()
	}
	pl.plan.problems = append(pl.plan.problems, problem)
}

func (pl *planner) check(check func(plan) error) {
	err := check(pl.plan)
	var bad *api.DeclarationError
	if errors.As(err, &bad) {
		pl.plan.code, pl.plan.problems = code.BadDeclaration, bad.Problems
	}
}

func (pl *planner) apply(change request) {
	if change.err != nil {
		pl.refuse(code.BadDeclaration, api.Key{}, "", change.err.Error(), "a document of resources")
		return
	}
	named := map[string]bool{}
	for _, r := range change.resources {
		key := r.Key().String()
		if named[key] {
			pl.refuse(code.BadDeclaration, r.Key(), "metadata.name", "the resource twice", "it once")
		}
		named[key] = true
		if _, exists := pl.current[key]; exists && change.Create {
			pl.refuse(code.Conflict, r.Key(), "metadata.name", "a resource that exists", "a new one; use apply or patch to change it")
			continue
		}
		pl.put(r)
	}
	if change.Prune {
		pl.prune(named)
	}
}

// prune deletes the resources that are not named. A change that names nothing is
// rejected: an empty directory given by mistake would delete the configuration.
func (pl *planner) prune(named map[string]bool) {
	if len(named) == 0 {
		pl.refuse(code.BadDeclaration, api.Key{}, "", "no resources", "at least one when pruning")
		return
	}
	for _, key := range core.SortedKeys(pl.current) {
		if !named[key] {
			pl.delete(core.ConfigDeletion{Key: pl.current[key].Key()})
		}
	}
}

// checkVersion compares a given resourceVersion with the current one.
func (pl *planner) checkVersion(key api.Key, stated int64) bool {
	current, exists := pl.current[key.String()]
	if stated == 0 || exists && stated == current.Metadata.ResourceVersion {
		return true
	}
	wanted := "none: the resource does not exist"
	if exists {
		wanted = fmt.Sprintf("the current %d", current.Metadata.ResourceVersion)
	}
	pl.refuse(code.Conflict, key, "metadata.resourceVersion", itoa(stated), wanted)
	return false
}

func (pl *planner) put(r api.Resource) {
	if !pl.checkVersion(r.Key(), r.Metadata.ResourceVersion) {
		return
	}
	current, exists := pl.current[r.Key().String()]
	action := core.ActionCreated
	r.Metadata.Generation, r.Metadata.ResourceVersion = 1, pl.revision
	if exists {
		action = core.ActionUpdated
		r.Metadata.Generation = current.Metadata.Generation
		switch {
		case !sameJSON(current.Spec, r.Spec):
			r.Metadata.Generation++
		case sameLabels(current.Metadata.Labels, r.Metadata.Labels):
			action, r = core.ActionUnchanged, current
		}
	}
	if action != core.ActionUnchanged {
		pl.next[r.Key().String()] = r
		pl.plan.put = append(pl.plan.put, r)
	}
	pl.changed(r.Key(), action, r.Metadata.ResourceVersion)
}

func (pl *planner) delete(deletion core.ConfigDeletion) {
	key := deletion.Key
	if !pl.checkVersion(key, deletion.ResourceVersion) {
		return
	}
	if _, exists := pl.current[key.String()]; !exists {
		pl.changed(key, core.ActionAbsent, 0)
		return
	}
	delete(pl.next, key.String())
	// A change may both put and delete a resource; deletion takes precedence.
	pl.plan.put = slices.DeleteFunc(pl.plan.put, func(r api.Resource) bool { return r.Key() == key })
	pl.plan.deleted = append(pl.plan.deleted, key)
	pl.changed(key, core.ActionDeleted, 0)
}

func (pl *planner) changed(key api.Key, action core.ConfigAction, version int64) {
	pl.plan.changes = append(pl.plan.changes, core.ConfigChange{Key: key, Action: action, ResourceVersion: version})
}

// empty reports whether the plan changes nothing.
func (p plan) empty() bool {
	return !slices.ContainsFunc(p.changes, func(c core.ConfigChange) bool {
		return c.Action != core.ActionUnchanged && c.Action != core.ActionAbsent
	})
}

func sameJSON(a, b any) bool {
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

func sameLabels(a, b map[string]string) bool {
	return len(a) == len(b) && (len(a) == 0 || sameJSON(a, b))
}
