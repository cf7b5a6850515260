Feature: a caller receives the whole answer to its own request

  Scenario Outline: the engine's events arrive twice, swapped or over several connections
    Symptom: words are doubled, swapped or missing in an answer.
    Events: <fault>.
    Cause: events are passed on as they arrive.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine <fault>
    When 30 tokens of "a@1" are requested, streamed
    Then the answer is all 30 tokens of "a@1"

    Examples:
      | fault                                 |
      | sends every event twice               |
      | swaps pairs of events                 |
      | cuts each connection after 20 events  |

  Scenario: a stream that the engine can't resume
    Symptom: a draft ends in the middle of a sentence and looks complete.
    Events: the engine ends the stream without its last event and has no record of it afterwards.
    Cause: the end of the connection is treated as the end of the answer.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine's next 9 streams end before their last event
    When 10 tokens of "a@1" are requested, streamed
    Then the caller sees that the answer is broken

  Scenario: a stream that the engine has lost, with the adapter still loaded
    Symptom: an answer contains its beginning twice.
    Events: the engine loses one stream; the attempt to resume it is answered 404.
    Cause: the 404 is treated as a missing adapter, and the request runs again.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    And the engine's next 1 streams end before their last event
    When 10 tokens of "a@1" are requested, streamed
    Then the caller sees that the answer is broken

  Scenario: the channel breaks in the middle of answers
    Symptom: all open answers of an entry are lost when one connection breaks.
    Events: the channel between entry and sidecar is cut twice while answers stream.
    Cause: data in flight is neither kept nor sent again.
    Given a system with 1 slow engine of 2 adapter slots and 8 batch slots
    When a caller begins to read 40 tokens of "a@1"
    And a caller begins to read 40 tokens of "b@1"
    And the engine runs 2 requests
    And the channels are cut
    And the channels are cut again once they are reconnected
    Then the caller that began to read gets all 40 tokens of "a@1"
    And the caller that began to read gets all 40 tokens of "b@1"

  Scenario: a caller that does not read
    Symptom: one slow caller stalls every other answer, or the entry runs out of memory.
    Events: a caller opens a long stream and stops reading.
    Cause: its chunks fill buffers that all callers share.
    Given a system with 1 engine of 2 adapter slots and 4 batch slots
    When a caller requests a long answer and does not read it
    Then the sidecar applies back pressure to its stream
    When 20 tokens of "b@1" are requested, streamed
    Then the answer is all 20 tokens of "b@1"

  Scenario: a caller that disconnects
    Symptom: engines are busy with answers that no caller reads.
    Events: a caller closes its connection in the middle of a stream.
    Cause: the engine is not notified.
    Given a system with 1 slow engine of 2 adapter slots and 4 batch slots
    When a caller disconnects in the middle of 200 tokens
    Then the engine stops running its request
    And its adapter slot is no longer pinned
