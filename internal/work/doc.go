// Package work predicts how long an engine needs until the first event of a
// generation. It answers this pattern: on one engine run prompts of 9,000 tokens,
// which take a quarter of a second to read, and prompts of 800, which take a
// fortieth of that. Counted as requests they look alike, and a request is sent
// behind three long prompts because another engine has four short ones.
//
// Work is counted in the time that an engine reads:
//
//   - Speed: how long a model's tokens take, learnt from answers.
//   - Queue: how much reading a router has sent to one engine and not seen begin.
//   - Cache: which parts of prompts an engine has read and need not read again.
//
// The package has no I/O and no clock. It holds no figure of an engine: what it
// starts from is replaced by the first answers.
package work
