package work

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// maxParts bounds the parts that are remembered of one engine: 30 bytes each.
const maxParts = 4096

// Cache is which parts of prompts one engine is taken to have: those that a
// router sent there last, as many as the engine has memory for.
type Cache struct {
	capacity, tokens int
	parts            *simplelru.LRU[uint64, part]
}

// part is a piece of a prompt, after all pieces before it.
type part struct {
	model  string
	tokens int
}

// NewCache returns an empty cache of an engine with memory for so many tokens.
func NewCache(capacity int) *Cache {
	c := &Cache{capacity: capacity}
	parts, err := simplelru.NewLRU(maxParts, func(_ uint64, p part) { c.tokens -= p.tokens })
	if err != nil {
		panic(err) // for a size below one only
	}
	c.parts = parts
	return c
}

// Cached is how many of a prompt's first tokens the engine need not read. A part
// counts only if all parts before it do.
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

// Read notes that the engine reads a prompt, and so keeps it.
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

// Keep forgets the prompts of all models but those that loaded names: unloading
// a model drops them.
func (c *Cache) RetainModels(loaded func(model string) bool) {
	for _, key := range c.parts.Keys() {
		if p, _ := c.parts.Peek(key); !loaded(p.model) {
			c.parts.Remove(key)
		}
	}
}

// Prefix is a prompt as a cache looks it up: hashed once, for all engines that the
// prompt may go to.
type Prefix struct {
	model  string
	tokens int
	pieces []piece
}

// piece is a part of a prompt; its key names all parts before it too.
type piece struct {
	key    uint64
	tokens int
}

// NewPrefix hashes a prompt's parts.
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
