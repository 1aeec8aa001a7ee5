import xxhash from 'xxhash-wasm';

/** Characters of prompt text in one hashed block. */
export const blockChars = 512;

/** Mean characters per token, used before the engine has counted the tokens. */
export const charsPerToken = 4;

/** Prompt tokens that one block stands for. */
export const blockTokens = blockChars / charsPerToken;

/** Hashes sent with one offer; bounds the size of an offer whatever the prompt length. */
export const maxSampledHashes = 32;

/** Everything that must be equal for two requests to share cache entries. */
export interface ChainSeed {
  /** Secret of the team; separates teams. */
  readonly salt: string;
  readonly model: string;
  readonly weightsVersion: string;
  readonly adapter: string;
}

/** Sampled block hashes with the number of blocks that each covers. */
export interface SampledChain {
  readonly hashes: readonly bigint[];
  readonly depths: readonly number[];
}

const { h64Raw } = await xxhash();
const encoder = new TextEncoder();

/** Buffers are reused, because hashing is synchronous and allocation dominates its cost. */
let textBytes = new Uint8Array(blockChars * 128);
const wideBytes = Buffer.alloc(blockChars * 2);

/** Writes the text as one byte per character; returns false when it is not all ASCII. */
function encodeAscii(text: string): boolean {
  if (textBytes.length < text.length) textBytes = new Uint8Array(text.length * 2);
  // A character outside ASCII takes more bytes than UTF-16 units, so the buffer ends too early or
  // more bytes than characters are written.
  const { read, written } = encoder.encodeInto(text, textBytes);
  return read === text.length && written === text.length;
}

/**
 * Hashes the full blocks of a prompt. Each hash covers the seed and all text up to the end of
 * its block, so equal hashes mean equal prefixes of one team, model, version and adapter.
 * A block is hashed as ASCII bytes, or as UTF-16 units when it has other characters: UTF-8 would
 * replace the halves of a character that crosses a block boundary and make different texts equal.
 */
export function hashBlocks(seed: ChainSeed, text: string): readonly bigint[] {
  const seedText = JSON.stringify([seed.salt, seed.model, seed.weightsVersion, seed.adapter]);
  let previous = h64Raw(encoder.encode(seedText));
  const blocks = Math.floor(text.length / blockChars);
  const hashes = new Array<bigint>(blocks);
  const isAscii = encodeAscii(text);
  for (let index = 0; index < blocks; index += 1) {
    const start = index * blockChars;
    const end = start + blockChars;
    if (isAscii) {
      previous = h64Raw(textBytes.subarray(start, end), previous);
    } else {
      const block = text.slice(start, end);
      if (encodeAscii(block)) {
        previous = h64Raw(textBytes.subarray(0, blockChars), previous);
      } else {
        wideBytes.write(block, 'utf16le');
        previous = h64Raw(wideBytes, previous);
      }
    }
    hashes[index] = previous;
  }
  return hashes;
}

/**
 * Reduces a chain to at most {@link maxSampledHashes} hashes: the first half of the budget for
 * the first blocks, the rest evenly over what follows, always with the last block.
 */
export function sampleChain(hashes: readonly bigint[]): SampledChain {
  const depths: number[] = [];
  const dense = Math.min(hashes.length, maxSampledHashes / 2);
  for (let depth = 1; depth <= dense; depth += 1) depths.push(depth);
  const rest = hashes.length - dense;
  const sparse = Math.min(rest, maxSampledHashes - dense);
  for (let index = 1; index <= sparse; index += 1) {
    depths.push(dense + Math.round((index * rest) / sparse));
  }
  return { depths, hashes: depths.map((depth) => hashes[depth - 1] as bigint) };
}

/** Estimates the tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charsPerToken);
}
