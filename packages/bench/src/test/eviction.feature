Feature: an adapter is not evicted while a request uses it

  Scenario: one adapter slot and two adapters
    Symptom: an answer changes its style in the middle, or fails.
    Events: a second adapter is requested while the only slot is in use.
    Cause: the slot is reassigned before the last byte of the answer.
    Given a system with 1 slow engine of 1 adapter slot and 4 batch slots
    When a caller begins to read 30 tokens of "a@1"
    And the engine runs 1 request
    And 5 tokens of "b@1" are requested, streamed
    Then the answer is all 5 tokens of "b@1"
    And the caller that began to read gets all 30 tokens of "a@1"
    And no adapter was evicted while in use

  Scenario: a slot is needed while its request is being cancelled
    Symptom: the engine evicts an adapter in the middle of a decode step.
    Events: a caller disconnects; the next request needs the only slot at the same moment.
    Cause: the pin is removed on the decision to cancel, not when the engine has stopped.
    Given a system with 1 slow engine of 1 adapter slot and 4 batch slots
    And the engine takes 100 ms to notice a cancel
    When a caller requests 200 tokens of "a@1" whole and disconnects while 5 tokens of "b@1" are requested
    Then the answer is all 5 tokens of "b@1"
    And no adapter was evicted while in use

  Scenario: an unload whose reply is lost
    Symptom: requests fail on an adapter that the sidecar reports as loaded, or the engine's slots run out.
    Events: the engine unloads an adapter, and the connection breaks before the reply.
    Cause: a lost reply is treated as a refusal.
    Given a system with 1 engine of 1 adapter slot and 4 batch slots
    When 5 tokens of "a@1" are requested, streamed
    And the engine loses the reply to its next unload
    And 5 tokens of "b@1" are requested, streamed
    Then the answer is all 5 tokens of "b@1"
    When 5 tokens of "a@1" are requested, streamed
    Then the answer is all 5 tokens of "a@1"
    And no adapter was evicted while in use

  Scenario: loads that fail
    Symptom: callers wait for an adapter that will not be loaded.
    Events: the weight store fails.
    Cause: waiting requests are not notified of the failure.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine's next 50 loads fail
    When 5 tokens of "a@1" are requested, streamed
    Then the caller gets "not-run" with status 503 and code "load-failed"
    And the answer came within 3000 ms

  Scenario: one failed load is compensated by a retry
    Given a system with 2 engines of 2 adapter slots and 4 batch slots
    And the engine's next 1 loads fail
    When 5 tokens of "a@1" are requested, streamed
    Then the answer is all 5 tokens of "a@1"
