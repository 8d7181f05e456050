package front

import (
	"encoding/json"
	"net/http"

	"nutmeglane.example/nutmeglane/internal/core"
)

const modelsPath = "/v1/models"

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	// Parent is the base model if the item is an adapter.
	Parent string `json:"parent,omitempty"`
}

func (f *Front) serveModels(in *incoming) *refusal {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range core.SortedKeys(in.config.Models) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "nutmeglane"})
	}
	for _, name := range core.SortedKeys(in.config.Adapters) {
		base := in.config.Adapters[name].Spec.Base
		list.Data = append(list.Data, modelItem{ID: base + ":" + name, Object: "model", OwnedBy: "nutmeglane", Parent: base})
	}
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	in.writeJSON(http.StatusOK, body)
	return nil
}
