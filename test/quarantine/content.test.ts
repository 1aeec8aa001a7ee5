import { describe, expect, it } from 'vitest';
import { type ContentSource, createRequestContent } from '../../src/quarantine/content.js';

const source: ContentSource = {
  service: 'llm',
  method: 'POST',
  path: '/fit/x',
  parts: ['a', 'b', 'own'].map((id) => ({ id, tokens: 100 })),
  body: Buffer.from('{}'),
};

const idOf = (changes: Partial<ContentSource>): string =>
  createRequestContent({ ...source, ...changes }).id;

describe('the content of a request', () => {
  it('has the same id in each repeat', () => {
    expect(idOf({ body: Buffer.from('{}') })).toBe(idOf({}));
  });

  it.each<Partial<ContentSource>>([
    { service: 'other' },
    { method: 'PUT' },
    { path: '/fit/y' },
    { parts: source.parts.slice(0, 2) },
    { body: Buffer.from('{ }') },
    { body: undefined },
  ])('has another id with %j', (changes) => {
    expect(idOf(changes)).not.toBe(idOf({}));
  });

  it('lists the parts that other prompts share', () => {
    expect(createRequestContent(source).partIds).toEqual(['a', 'b']);
  });
});
