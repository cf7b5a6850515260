Feature: prompts are let into an engine at the rate at which it reads them
  The load of a heavy day at one engine: 20 requests a second in clumps of three, prompts of 60 to
  7,000 tokens, answers of 290 tokens, five to an event; an engine reads 38 tokens a ms and stands
  still for its streams meanwhile. Streams are on time when the first event comes within 800 ms and no
  pause is longer than 300 ms.

  Scenario: clumps of prompts
    Symptom: half of all streams pause for longer than is on time, though the engine has time to spare.
    Events: several prompts arrive within 100 ms; the engine reads all of them before its next token.
    Cause: each prompt was sent on as soon as it came.
    Then with pacing at least 80 in 100 streams of the heavy load are on time, and 20 in 100 more than without

  Scenario: more prompts than can be read
    Symptom: every request is served late.
    Events: prompts come faster than the engine reads them for some seconds.
    Cause: they were let in by age, so each one waited as long as the line was.
    Then in overload more streams are on time with pacing than without, and no urgent class behind a less urgent one

  Scenario: a pacer that is too fast for its engine
    Then streams that pause too long slow it down, and streams that don't speed it up, within bounds

  Scenario: a request that nobody asks about any more
    Then it leaves the line without being let in

  Scenario Outline: a first event may come later than it could
    Symptom: one stream in ten pauses for too long on a day on which the engine reads prompts for a third of its time.
    Events: a clump of prompts is let in as fast as the engine can read; streams get five tokens in 300 ms and more.
    Cause: the time until the first events are due was not used.
    Then at <a second> requests a second at least <least> in 100 streams are on time

    Examples:
      | a second | least |
      | 10       | 98    |
      | 16       | 96    |
      | 20       | 94    |
