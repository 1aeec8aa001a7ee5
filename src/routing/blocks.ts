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

/** Bytes of one block; a UTF-16 unit has two. */
const blockBytes = blockChars * 2;

/** Buffer for one prompt and its blocks as views; reused, because allocation would dominate. */
interface Scratch {
  readonly text: Buffer;
  readonly blocks: readonly Uint8Array[];
}

function createScratch(blocks: number): Scratch {
  const text = Buffer.alloc(blocks * blockBytes);
  const bytes = new Uint8Array(text.buffer, text.byteOffset, text.length);
  const views = Array.from({ length: blocks }, (_, index) =>
    bytes.subarray(index * blockBytes, (index + 1) * blockBytes),
  );
  return { text, blocks: views };
}

/** Blocks of the largest buffer that is kept (4 MiB); longer prompts use one of their own. */
const maxReusableBlocks = 4_096;

let reusableScratch = createScratch(128);

function getScratch(blocks: number): Scratch {
  if (blocks <= reusableScratch.blocks.length) return reusableScratch;
  if (blocks > maxReusableBlocks) return createScratch(blocks);
  reusableScratch = createScratch(Math.min(maxReusableBlocks, blocks * 2));
  return reusableScratch;
}

/**
 * Hashes the full blocks of a prompt. Each hash covers the seed and all text up to the end of
 * its block, so equal hashes mean equal prefixes of one team, model, version and adapter.
 * Blocks are hashed as UTF-16 units: UTF-8 would replace the halves of a character that crosses
 * a block boundary and make different texts equal.
 */
export function hashBlocks(seed: ChainSeed, text: string): readonly bigint[] {
  const seedText = JSON.stringify([seed.salt, seed.model, seed.weightsVersion, seed.adapter]);
  let previous = h64Raw(encoder.encode(seedText));
  const blocks = Math.floor(text.length / blockChars);
  const scratch = getScratch(blocks);
  scratch.text.write(text, 'utf16le');
  const hashes = new Array<bigint>(blocks);
  for (let index = 0; index < blocks; index += 1) {
    previous = h64Raw(scratch.blocks[index] as Uint8Array, previous);
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
