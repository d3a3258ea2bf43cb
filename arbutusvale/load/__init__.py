"""Play chats and bookings against running routers and report."""
