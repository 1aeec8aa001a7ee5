import xxhash from 'xxhash-wasm';

/** Characters of prompt text in one hashed block. */
export const blockChars = 512;

/** Mean characters per token, used before the engine has counted the tokens. */
export const charsPerToken = 4;

/** Estimated prompt tokens per block. */
export const blockTokens = blockChars / charsPerToken;

/** Maximum hashes per offer request; bounds its size regardless of the prompt length. */
export const maxSampledHashes = 32;

/** Values that must be equal for two requests to share cache entries. */
export interface ChainSeed {
  /** Secret of the team; separates the cache entries of teams. */
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

/** Size of one block; a UTF-16 code unit has two bytes. */
const blockBytes = blockChars * 2;

/** Buffer for one prompt, with a view per block; reused because allocation would dominate. */
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

/** Size in blocks of the largest reusable buffer (4 MiB); longer prompts allocate their own. */
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
 * Blocks are hashed as UTF-16 code units: UTF-8 would replace both halves of a surrogate pair that
 * crosses a block boundary, so different texts would have equal hashes.
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
 * Reduces a chain to at most {@link maxSampledHashes} hashes. The first half of them covers the
 * first blocks one by one; the others are spread evenly over the remaining blocks and always
 * include the last block.
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

export function estimateTokens(text: string): number {
  return Math.ceil(text.length / charsPerToken);
}
