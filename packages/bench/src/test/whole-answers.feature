Feature: a caller receives the whole answer to its own request

  Scenario Outline: the engine's events come twice, swapped or over several connections
    Symptom: words are doubled, swapped or missing in a loan agreement.
    Events: <fault>.
    Cause: events were passed on as they came.
    Given a system with 1 engine of 2 slots and 4 places
    And the engine <fault>
    When 30 tokens of "a@1" are asked for, streamed
    Then the answer is all 30 tokens of "a@1"

    Examples:
      | fault                                 |
      | sends every event twice               |
      | swaps pairs of events                 |
      | cuts each connection after 20 events  |

  Scenario: a stream that the engine can't resume
    Symptom: a draft ends in the middle of a sentence and looks finished.
    Events: the engine ends the stream without its last event and knows nothing of it afterwards.
    Cause: the end of the connection was taken for the end of the answer.
    Given a system with 1 engine of 2 slots and 4 places
    And the engine's next 9 streams end before their last event
    When 10 tokens of "a@1" are asked for, streamed
    Then the caller sees that the answer is broken

  Scenario: a stream that the engine forgot, with the adapter still loaded
    Symptom: the beginning of an answer stands twice in it.
    Events: the engine loses one stream; the attempt to resume it is answered 404.
    Cause: the 404 was taken for a missing adapter and the request ran again.
    Given a system with 1 engine of 2 slots and 4 places
    And the engine's next 1 streams end before their last event
    When 10 tokens of "a@1" are asked for, streamed
    Then the caller sees that the answer is broken

  Scenario: the channel breaks in the middle of answers
    Symptom: all open answers of an entry are lost when one connection breaks.
    Events: the channel between entry and sidecar is cut twice while answers stream.
    Cause: what was on its way was neither kept nor sent again.
    Given a system with 1 slow engine of 2 slots and 8 places
    When a caller begins to read 40 tokens of "a@1"
    And a caller begins to read 40 tokens of "b@1"
    And the engine runs 2 requests
    And the channels are cut
    And the channels are cut again once they are back
    Then the caller that began gets all 40 tokens of "a@1"
    And the caller that began gets all 40 tokens of "b@1"

  Scenario: a caller that does not read
    Symptom: one slow phone stalls every other answer, or the entry runs out of memory.
    Events: a caller opens a long stream and stops reading.
    Cause: its chunks filled buffers that all callers share.
    Given a system with 1 engine of 2 slots and 4 places
    When a caller asks for a long answer and does not read it
    Then the sidecar holds its stream back
    When 20 tokens of "b@1" are asked for, streamed
    Then the answer is all 20 tokens of "b@1"

  Scenario: a caller that goes away
    Symptom: engines are busy with answers that nobody reads.
    Events: a caller closes its connection in the middle of a stream.
    Cause: nothing told the engine.
    Given a system with 1 slow engine of 2 slots and 4 places
    When a caller leaves in the middle of 200 tokens
    Then the engine stops working on it
    And its slot is no longer pinned
