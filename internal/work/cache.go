package work

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// maxParts limits the prompt parts that are remembered of one engine, at 30 bytes each.
const maxParts = 4096

// Cache estimates which parts of prompts one engine has in its cache: those that a router
// sent there last, as many as fit into the engine's memory.
type Cache struct {
	capacity, tokens int
	parts            *simplelru.LRU[uint64, part]
}

// part is a piece of a prompt that follows certain earlier pieces.
type part struct {
	model  string
	tokens int
}

// NewCache returns an empty cache of an engine with memory for capacity tokens.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity}
	parts, err := simplelru.NewLRU(maxParts, func(_ uint64, p part) { c.tokens -= p.tokens })
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.parts = parts
	return c
}

// Capacity returns the size of the engine's KV cache in tokens.
func (c *Cache) Capacity() int { return c.capacity }

// CachedTokens returns how many of a prompt's first tokens the engine need not read. A
// part counts only if all parts before it do.
func (c *Cache) CachedTokens(p Prefix) int {
	tokens := 0
	for _, piece := range p.pieces {
		if !c.parts.Contains(piece.key) {
			break
		}
		tokens += piece.tokens
	}
	return min(tokens, max(0, p.tokens-1))
}

// Add records that the engine reads a prompt, and so caches it.
func (c *Cache) Add(p Prefix) {
	for _, piece := range p.pieces {
		if _, ok := c.parts.Get(piece.key); ok {
			continue
		}
		c.tokens += piece.tokens
		c.parts.Add(piece.key, part{p.model, piece.tokens})
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}

// RetainModels removes the prompts of all models for which loaded returns false:
// unloading a model drops them.
func (c *Cache) RetainModels(loaded func(model string) bool) {
	for _, key := range c.parts.Keys() {
		if p, _ := c.parts.Peek(key); !loaded(p.model) {
			c.parts.Remove(key)
		}
	}
}

// Prefix is a prompt in the form in which a cache looks it up: hashed once, for all
// engines that the prompt may be sent to.
type Prefix struct {
	model  string
	tokens int
	pieces []piece
}

// piece is a part of a prompt. Its key also identifies all parts before it.
type piece struct {
	key    uint64
	tokens int
}

// NewPrefix returns the Prefix of a prompt.
func NewPrefix(p *fleet.Prompt) Prefix {
	prefix := Prefix{model: p.Model, tokens: p.Tokens, pieces: make([]piece, 0, len(p.Parts))}
	digest := xxhash.New()
	_, _ = digest.WriteString(p.Model + "/" + p.Adapter) // never fails
	for _, part := range p.Parts {
		_, _ = digest.WriteString("," + part.ID)
		prefix.pieces = append(prefix.pieces, piece{digest.Sum64(), part.Tokens})
	}
	return prefix
}
