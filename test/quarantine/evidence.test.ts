import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createSeededRandom, shuffled } from '../../src/base/random.js';
import { createEvidence, type Evidence, type Sighting } from '../../src/quarantine/evidence.js';
import { createManualClock } from '../standins/clock.js';

/** Time between two crashes that have different causes. */
const gapMs = 200;

function setUp() {
  const clock = createManualClock();
  const evidence = createEvidence(clock);
  const crash = async (targetId: string, ...prompts: string[][]): Promise<void> => {
    evidence.observeCrash(targetId, prompts);
    await clock.advance(gapMs);
  };
  return { clock, evidence, crash };
}

const accusedOf = (evidence: Evidence, partId: string): readonly string[] | undefined =>
  evidence.accusationOf(partId)?.partIds;

describe('evidence of prompt parts that crash engines', () => {
  it('accuses a new part after two crashes, not the parts that sound prompts share with it', async () => {
    const { evidence, crash } = setUp();
    evidence.observeAnswer(['shared']);
    await crash('t1', ['shared', 'dead', 's1']);
    evidence.observeAnswer(['shared']);
    await crash('t2', ['shared', 'dead', 's2'], ['shared', 's3']);
    const accused = ['shared', 'dead', 's1', 's2', 's3'].map((id) => accusedOf(evidence, id));
    expect(accused).toEqual([undefined, ['dead'], undefined, undefined, undefined]);
  });

  it('does not accuse a part that was answered between its crashes', async () => {
    const { evidence, crash } = setUp();
    await crash('t1', ['a']);
    evidence.observeAnswer(['a']);
    await crash('t2', ['a']);
    expect(accusedOf(evidence, 'a')).toBeUndefined();
  });

  it('needs more crashes for a part that was answered before, such as one of most prompts', async () => {
    const { evidence, crash, clock } = setUp();
    evidence.observeAnswer(['a']);
    await clock.advance(1);
    for (const target of ['t1', 't2', 't3']) await crash(target, ['a']);
    expect(accusedOf(evidence, 'a')).toBeUndefined();
    await crash('t4', ['a']);
    expect(accusedOf(evidence, 'a')).toEqual(['a']);
  });

  it('accuses parts that were only seen together as one combination until an answer tells', async () => {
    const { evidence, crash } = setUp();
    await crash('t1', ['a', 'dead']);
    await crash('t2', ['a', 'dead']);
    expect(accusedOf(evidence, 'a')).toEqual(['a', 'dead']);
    expect(evidence.observeAnswer(['a'])).toEqual(['a']);
    expect(accusedOf(evidence, 'dead')).toEqual(['dead']);
  });

  it('counts targets that crash at the same moment once, as when a rack loses power', async () => {
    const { evidence, clock } = setUp();
    for (const target of ['t1', 't2', 't3']) evidence.observeCrash(target, [['a']]);
    await clock.advance(gapMs);
    expect(accusedOf(evidence, 'a')).toBeUndefined();
  });

  it('counts a crash once that several gateways report', async () => {
    const { evidence, crash, clock } = setUp();
    await crash('t1', ['a']);
    const report = { targetId: 't1', unanswered: ['a'], answered: [] };
    evidence.addSighting({ ...report, at: clock.now() - gapMs - 60 });
    evidence.addSighting({ ...report, at: clock.now() - gapMs + 60 });
    expect(accusedOf(evidence, 'a')).toBeUndefined();
    await clock.advance(5_000);
    evidence.addSighting({ ...report, at: clock.now() });
    expect(evidence.accusationOf('a')?.crashes).toBe(2);
  });

  it("clears parts that a peer answered, and names those of a peer's sighting that were answered here", async () => {
    const { evidence, crash, clock } = setUp();
    await crash('t1', ['a']);
    await crash('t2', ['a']);
    expect(evidence.addAnswer('a', clock.now() - 1)).toBe(true);
    expect(accusedOf(evidence, 'a')).toBeUndefined();
    const sighting = { targetId: 't3', at: clock.now(), unanswered: ['a', 'b'], answered: [] };
    expect(evidence.addSighting(sighting)).toEqual(['a']);
  });

  it('accuses the content of a request that was lost in two crashes, although others share all its parts', async () => {
    const { evidence, crash } = setUp();
    for (const target of ['t1', 't2']) {
      evidence.observeAnswer(['shared', 'content,sound']);
      await crash(target, ['shared', 'content,dead'], ['shared', `content,beside ${target}`]);
    }
    const ids = ['shared', 'content,dead', 'content,beside t1', 'content,beside t2'];
    const accused = ids.map((id) => accusedOf(evidence, id));
    expect(accused).toEqual([undefined, ['content,dead'], undefined, undefined]);
  });

  it('still accuses a part alone that was lost with the same content in two crashes', async () => {
    const { evidence, crash } = setUp();
    await crash('t1', ['dead', 'content,1']);
    await crash('t2', ['dead', 'content,1']);
    expect(accusedOf(evidence, 'dead')).toEqual(['dead']);
  });

  it('clears a content that was answered after its first crash, but not by earlier answers', async () => {
    const { evidence, crash, clock } = setUp();
    evidence.observeAnswer(['content,1', 'content,2']);
    await clock.advance(1);
    await crash('t1', ['content,1'], ['content,2']);
    expect(evidence.observeAnswer(['content,2'])).toEqual(['content,2']);
    await crash('t2', ['content,1'], ['content,2']);
    const accused = ['content,1', 'content,2'].map((id) => accusedOf(evidence, id));
    expect(accused).toEqual([['content,1'], undefined]);
  });

  it('counts two crashes at the same moment that one request met one after the other', async () => {
    const { evidence, clock } = setUp();
    const lostAgain = new Set(['content,again']);
    evidence.observeCrash('t1', [['content,again'], ['content,twice']]);
    await clock.advance(5);
    evidence.observeCrash('t2', [['content,again'], ['content,twice']], lostAgain);
    const accused = ['content,again', 'content,twice'].map((id) => accusedOf(evidence, id));
    expect(accused).toEqual([['content,again'], undefined]);
  });

  it('keeps no answers of contents that are not suspected', () => {
    const { evidence } = setUp();
    evidence.observeAnswer(['part', 'content,1']);
    const answeredAt = ['part', 'content,1'].map((id) => evidence.lastAnswerAt(id));
    expect(answeredAt).toEqual([0, undefined]);
  });

  it('stays bounded when callers send new parts all the time, and still finds the next one', async () => {
    const { evidence, crash } = setUp();
    for (let index = 0; index < 20_000; index += 1) {
      evidence.observeAnswer([`answered${index}`]);
      evidence.observeCrash(`t${index}`, [[`lost${index}`]]);
    }
    expect(evidence.lastAnswerAt('answered0')).toBeUndefined();
    await crash('u1', ['dead', 'new1']);
    await crash('u2', ['dead', 'new2']);
    expect(accusedOf(evidence, 'dead')).toEqual(['dead']);
  });

  // Guards against a hash of each answered body long after the last crash.
  it('suspects nothing an hour after the last crash, whether or not another follows', async () => {
    const { evidence, crash, clock } = setUp();
    await crash('t1', ['content,once']);
    expect(evidence.size).toBe(1);
    await clock.advance(3_600_000);
    expect(evidence.size).toBe(0);
  });

  it('does not add a crash to evidence that is an hour old', async () => {
    const { evidence, crash, clock } = setUp();
    await crash('t1', ['a', 'content,a']);
    await clock.advance(3_600_000);
    await crash('t2', ['a', 'content,a']);
    expect(accusedOf(evidence, 'a')).toBeUndefined();
    expect(accusedOf(evidence, 'content,a')).toBeUndefined();
  });

  it('comes to the same result in whatever order and however often gateways hear of it', () => {
    const part = fc.constantFrom('a', 'b', 'c', 'd');
    const sightings = fc.array(
      fc.record({
        targetId: fc.constantFrom('t1', 't2', 't3', 't4'),
        at: fc.integer({ min: 0, max: 20 }).map((step) => step * 2_000),
        unanswered: fc.uniqueArray(part, { minLength: 1, maxLength: 3 }),
        answered: fc.constant<string[]>([]),
      }),
      { maxLength: 12 },
    );
    const resultOf = (order: readonly Sighting[]): unknown => {
      const evidence = createEvidence(createManualClock());
      for (const sighting of order) evidence.addSighting(sighting);
      return ['a', 'b', 'c', 'd'].map((id) => evidence.accusationOf(id));
    };
    fc.assert(
      fc.property(sightings, fc.integer(), (all, seed) => {
        const repeated = shuffled(createSeededRandom(seed), [...all, ...all]);
        expect(resultOf(repeated)).toEqual(resultOf(all));
      }),
    );
  });
});
