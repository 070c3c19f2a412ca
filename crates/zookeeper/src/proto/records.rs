//! Records that requests and responses share, and the two of the handshake.
use crate::error::ProtocolError;
use crate::jute::{Reader, Writer};

/// Metadata of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stat {
    /// zxid of its creation.
    pub czxid: i64,
    /// zxid of its last change.
    pub mzxid: i64,
    /// Unix ms of its creation.
    pub ctime: i64,
    /// Unix ms of its last change.
    pub mtime: i64,
    /// Changes of its data.
    pub version: i32,
    /// Changes of its children.
    pub cversion: i32,
    /// Changes of its ACL.
    pub aversion: i32,
    /// The session that owns an ephemeral node; 0: not ephemeral.
    pub owner: i64,
    /// Bytes of data.
    pub length: i32,
    /// Children.
    pub children: i32,
    /// zxid of the last change of its children.
    pub pzxid: i64,
}

impl Stat {
    pub(super) fn read(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        Ok(Stat {
            czxid: reader.long("czxid")?,
            mzxid: reader.long("mzxid")?,
            ctime: reader.long("ctime")?,
            mtime: reader.long("mtime")?,
            version: reader.int("version")?,
            cversion: reader.int("cversion")?,
            aversion: reader.int("aversion")?,
            owner: reader.long("ephemeralOwner")?,
            length: reader.int("dataLength")?,
            children: reader.int("numChildren")?,
            pzxid: reader.long("pzxid")?,
        })
    }
    pub(super) fn write(&self, writer: &mut Writer) {
        writer.long(self.czxid).long(self.mzxid).long(self.ctime).long(self.mtime);
        writer.int(self.version).int(self.cversion).int(self.aversion).long(self.owner);
        writer.int(self.length).int(self.children).long(self.pzxid);
    }
}

/// One entry of a node's ACL.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acl {
    /// Bits: 1 read, 2 write, 4 create, 8 delete, 16 admin.
    pub perms: i32,
    /// How the id is to be understood: `world`, `auth`, `digest`.
    pub scheme: String,
    /// Whom it concerns.
    pub id: String,
}

impl Acl {
    /// All permissions for anyone.
    pub fn open() -> Vec<Acl> {
        vec![Acl { perms: 31, scheme: "world".into(), id: "anyone".into() }]
    }
    /// All permissions for the credentials of this session.
    pub fn own() -> Vec<Acl> {
        vec![Acl { perms: 31, scheme: "auth".into(), id: String::new() }]
    }
    pub(super) fn read(reader: &mut Reader<'_>) -> Result<Self, ProtocolError> {
        let perms = reader.int("perms")?;
        Ok(Acl { perms, scheme: reader.text("scheme")?.into(), id: reader.text("id")?.into() })
    }
    pub(super) fn write(writer: &mut Writer, acl: &Acl) {
        writer.int(acl.perms).text(&acl.scheme).text(&acl.id);
    }
}

/// The first record of a connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Connect {
    /// The last zxid seen: a server that lags behind it refuses the session.
    pub last_zxid_seen: i64,
    /// Requested time-out, in ms.
    pub timeout: i32,
    /// The session to resume; 0: a new one.
    pub session: i64,
    /// Its password.
    pub password: Vec<u8>,
}

impl Connect {
    /// From a frame.
    pub fn read(frame: &[u8]) -> Result<Self, ProtocolError> {
        let mut reader = Reader::new(frame);
        let _version = reader.int("protocolVersion")?;
        let (last_zxid_seen, timeout) = (reader.long("lastZxidSeen")?, reader.int("timeOut")?);
        let (session, password) = (reader.long("sessionId")?, reader.buffer("passwd")?);
        let password = password.unwrap_or_default().to_vec();
        read_optional_read_only(&mut reader)?;
        Ok(Connect { last_zxid_seen, timeout, session, password })
    }
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer
            .int(0)
            .long(self.last_zxid_seen)
            .int(self.timeout)
            .long(self.session)
            .buffer(&self.password)
            .flag(false);
        writer.framed()
    }
}

/// Releases before 3.4 leave the last field out.
fn read_optional_read_only(reader: &mut Reader<'_>) -> Result<(), ProtocolError> {
    if reader.remaining() > 0 {
        reader.flag("readOnly")?;
    }
    reader.expect_end()
}

/// The answer to [`Connect`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Connected {
    /// Negotiated time-out, in ms; 0 or less: the session has expired.
    pub timeout: i32,
    /// The session.
    pub session: i64,
    /// Its password.
    pub password: Vec<u8>,
}

impl Connected {
    /// From a frame.
    pub fn read(frame: &[u8]) -> Result<Self, ProtocolError> {
        let mut reader = Reader::new(frame);
        let _version = reader.int("protocolVersion")?;
        let (timeout, session) = (reader.int("timeOut")?, reader.long("sessionId")?);
        let password = reader.buffer("passwd")?.unwrap_or_default().to_vec();
        read_optional_read_only(&mut reader)?;
        Ok(Connected { timeout, session, password })
    }
    /// As a frame.
    pub fn framed(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.int(0).int(self.timeout).long(self.session).buffer(&self.password).flag(false);
        writer.framed()
    }
}
