Feature: answers to calls of the store, of engines and of entries

  Scenario Outline: a call that is answered with status <status> and the field "<field>"
    Guards against a message that counts as the answer to a call although it is none, and against a call that waits for its time limit then.
    When a call is answered with status "<status>" and the field "<field>"
    Then it has no answer within 1000 ms

    Examples:
      | status        | field                                       |
      | 000 None      |                                             |
      | 099 None      |                                             |
      | 101 Switching |                                             |
      | 101 Switching | Connection: upgrade\x0d\x0aUpgrade: other   |
      | 600 None      |                                             |
      | 999 None      |                                             |
      | 200 a\x01b    |                                             |
      | 200 OK        | Transfer-Encoding: identity                 |
      | 200 OK        | X A: b                                      |

  Scenario: a call whose answer has trailers
    When a call is answered in chunks with trailers
    Then it has the whole answer

  Scenario Outline: the connection of an answer without a length <ending>, to a call
    Guards against a part of an answer that counts as all of it.
    When 10 calls are answered without a length by connections that "<ending>"
    Then each of them ends as "<outcome>"

    Examples:
      | ending                 | outcome   |
      | is reset               | no answer |
      | closes                 | whole     |
      | closes, is reset later | whole     |
